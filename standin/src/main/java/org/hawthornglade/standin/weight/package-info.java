/** A stand-in for the rate-limited weight store. */
package org.hawthornglade.standin.weight;
