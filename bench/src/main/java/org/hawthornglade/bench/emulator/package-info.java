/**
 * Emulates endpoints that announce notices and entries that must follow them, with a rule checker, in virtual time.
 *
 * <p>The decisions at the entries are the real ones of {@code core}; the network, the endpoints and the faults are
 * generated from a seed. The rule checker uses what endpoints received and entries relayed, not the entries' state.
 */
package org.hawthornglade.bench.emulator;
