package slot

// PeerMessage is a message between the pools of two entry VMs of a zone.
//
// Stamps are milliseconds of the clock of the VM that set them; the other side only echoes and compares them.
type PeerMessage interface{ peerMessage() }

// Envelope is a message to send to a peer; it may be lost, delayed, duplicated or reordered.
type Envelope struct {
	Peer    string
	Message PeerMessage
}

// Want asks the receiver to lend up to Count slots. It replaces earlier wants; a count of 0 withdraws them.
type Want struct {
	Sent  int64 // borrower's stamp
	Count int
}

// Lend gives loans with consecutive ids from First, grouped by endpoint; without groups it only reports Idle.
type Lend struct {
	Epoch  uint64 // incarnation of the lender
	Wanted int64  // stamp of the Want that it answers; the loan term starts at this time
	First  uint64
	Groups []Group
	Idle   int // slots that the lender still has idle
}

// Group is a number of consecutive loans on one endpoint.
type Group struct {
	Endpoint string
	Count    int
}

// Renew asks the lender to extend all loans up to the id Through that the borrower still holds.
type Renew struct {
	Epoch   uint64
	Sent    int64 // borrower's stamp
	Through uint64
	Held    int    // number of loans held
	Sum     uint64 // sum of their ids
}

// Renewed confirms a Renew; Audit asks for Holdings because the lender counts other loans than the borrower.
type Renewed struct {
	Epoch   uint64
	Sent    int64 // stamp of the Renew
	Through uint64
	Audit   bool
}

// Return ends loans; ids that are unknown to the lender are skipped.
type Return struct {
	Epoch  uint64
	Ranges []Range
}

// Range is a range of consecutive loan ids.
type Range struct {
	First uint64
	Count uint64
}

// Holdings reports that of the loans up to Through the borrower holds exactly those in Ranges.
type Holdings struct {
	Epoch   uint64
	Through uint64
	Ranges  []Range
}

// Recall asks the borrower to keep at most Keep of the loans up to Through and to return the others as they become
// idle.
type Recall struct {
	Epoch   uint64
	Through uint64
	Keep    int
}

// Handover reports to the current owner how many slots of its endpoints the sender still occupies outside the owner's
// loans.
type Handover struct {
	Sent  int64 // sender's stamp; a message older than the last one is ignored
	Items []Occupied
}

// Occupied is a number of slots of an endpoint that the sender uses or has lent.
type Occupied struct {
	Endpoint string
	Count    int
	Release  uint64 // number of the ownership change with which the sender released the endpoint; 0 if none
}

// Resume asks peers after a pause whether one of them has taken over endpoints.
type Resume struct{ Sent int64 }

// Resumed answers a Resume; Clear means that the sender has taken over nothing from the receiver.
type Resumed struct {
	Sent  int64
	Clear bool
}

func (Want) peerMessage()     {}
func (Lend) peerMessage()     {}
func (Renew) peerMessage()    {}
func (Renewed) peerMessage()  {}
func (Return) peerMessage()   {}
func (Holdings) peerMessage() {}
func (Recall) peerMessage()   {}
func (Handover) peerMessage() {}
func (Resume) peerMessage()   {}
func (Resumed) peerMessage()  {}
