/**
 * Emulates engines that crash on one part of a prompt, and entries that must stop sending it, in virtual time.
 *
 * <p>The decisions at the entries are the real ones of {@code core}; the network, the engines and the faults are
 * generated from a seed. The rule checker uses what engines received and which of them crashed.
 */
package org.hawthornglade.bench.crash;
