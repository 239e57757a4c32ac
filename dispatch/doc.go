// Package dispatch decides for one service on one entry VM which task runs when and on which endpoint.
//
// Core performs no I/O and reads no clock. It takes a Message and the time and returns Effects for the caller to execute:
//
//	core := dispatch.New(config)
//	for _, effect := range core.Update(now, message, nil) {
//		switch e := effect.(type) {
//		case dispatch.StartTask:
//			// send the task to e.Endpoint
//		}
//	}
package dispatch
