/**
 * Endpoints that say things of themselves, entries that must heed them, and a referee, in virtual time.
 *
 * <p>The decisions at the entries are the real ones of {@code core}; the network, the endpoints and the faults are
 * drawn by seed. The referee judges by what endpoints received and entries passed on, not by what entries believe.
 */
package org.hawthornglade.bench.emulator;
