/** Defines the protocol between entries and agents: Thrift for control, Thrift frames in HTTP bodies for data. */
package org.hawthornglade.protocol;
