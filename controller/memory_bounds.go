package controller

// What clients, engines and connections may take of the memory is bounded by parts of the whole, and on a small machine by
// what the process itself leaves of it.

const (
	// processBytes is what a process takes without any connection: pages of its file, and the runtime's own memory.
	processBytes = 21 << 20
	// connectionBytes is what a connection takes that is not counted: a writer's stack, netpoll's buffers and its own state.
	connectionBytes = 24 << 10
	// minDataDivisor keeps a part of the memory for data where connections take nearly all.
	minDataDivisor = 8
)

// dataBytes is the memory that is left for statements, results and what connections hold.
func (c *Controller) dataBytes() int64 {
	memory := c.cfg.MemoryMB << 20
	connections := int64(c.linkCount + len(c.clients) + c.turnedAwayConns)
	return max(memory-processBytes-connections*connectionBytes, memory/minDataDivisor)
}

// maxAcceptedBytes bounds what is held when a job is accepted: a quarter of the memory, and half of what is left for data,
// as results come on top.
func (c *Controller) maxAcceptedBytes() int64 { return min(c.cfg.MemoryMB<<20/4, c.dataBytes()/2) }

// maxHeldBytes bounds what is held when a page of a result arrives: half of the memory, and of what is left for data all
// but an eighth for garbage.
func (c *Controller) maxHeldBytes() int64 { return min(c.cfg.MemoryMB<<20/2, c.dataBytes()*7/8) }

// heldBytes is the memory of statements, pages and what connections hold.
func (c *Controller) heldBytes() int64 { return c.jobBytes + c.connBytes.Load() }

// updateRoom publishes how much more may be accepted, for those that do not hold the lock.
func (c *Controller) updateRoom() { c.acceptedRoom.Store(c.maxAcceptedBytes() - c.heldBytes()) }

// smallBuffer is how much of an incomplete message a client's connection may hold without a place for the whole, and the
// largest empty buffer that a connection keeps for the next one: those of all connections stay within an eighth of the
// memory.
func (c *Controller) smallBuffer() int {
	return min(maxIdleBuffer, int(c.cfg.MemoryMB<<20/8)/max(c.cfg.MaxDescriptors, 1))
}

// maxLinkBytes bounds what connections to engines take: a sixth of the memory.
func (c *Controller) maxLinkBytes() int { return int(c.cfg.MemoryMB << 20 / 6) }
