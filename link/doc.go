// Package link is the RPC link between entry VMs: a connect-go service over unencrypted HTTP/2 and its client.
//
// It transports the messages of link/linkpb without interpreting them:
//
//	server := link.NewServer(link.ServerConfig{Handler: handler})
//	group.Go(func() error { return server.Serve(listener) })
//	client := link.NewClient(link.ClientConfig{})
//	reply, err := client.Exchange(ctx, "127.0.0.1:7401", batch)
package link
