package main

import "C" // the users' platform runs only programs that are linked to the C library
