/** Injection of scripted faults into the calls of a stand-in. */
package org.hawthornglade.standin.fault;
