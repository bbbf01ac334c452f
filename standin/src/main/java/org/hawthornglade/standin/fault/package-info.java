/** Faults that a stand-in shows on request. */
package org.hawthornglade.standin.fault;
