// Package main runs the program of the deploy file as separate processes on loopback addresses, against stand-ins of the
// platform's store, of executors and of clients, and checks one rule of the users in each case.
package main
