/** The star between entries: each tells the placement leader its demand and hears what is placed where. */
package org.hawthornglade.gateway.peer;
