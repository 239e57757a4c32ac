// Package caller implements the HTTP/1.1 and JSON server for callers: tickets, jobs and single requests.
//
//	server := caller.NewServer(caller.Config{Dispatcher: dispatcher})
//	group.Go(func() error { return server.Serve(listener) })
//	// on SIGTERM
//	server.Drain()
//	err := server.Shutdown(ctx)
package caller
