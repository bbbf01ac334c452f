/** The protocol between entries and agents: Thrift for control, Thrift frames in an HTTP body for data. */
package org.hawthornglade.protocol;
