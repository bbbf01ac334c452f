/** The instances of the services: their records on the platform's list, health, load, placements and permits. */
package org.hawthornglade.core.fleet;
