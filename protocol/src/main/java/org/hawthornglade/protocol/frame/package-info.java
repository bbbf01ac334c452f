/** Reads and writes the frames in which an agent sends an answer to an entry. */
package org.hawthornglade.protocol.frame;
