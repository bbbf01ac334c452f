/** Tests of complete processes under kills, freezes, planned stops, cut and silent connections, and outages. */
package org.hawthornglade.app.process;
