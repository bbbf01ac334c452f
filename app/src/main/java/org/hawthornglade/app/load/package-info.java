/** Open-loop load generator for the callers' protocol, which classifies the outcome of each request. */
package org.hawthornglade.app.load;
