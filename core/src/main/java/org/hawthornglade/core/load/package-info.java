/**
 * Policies for the order and concurrency of loads on an instance, and for the models that are unloaded to make room.
 */
package org.hawthornglade.core.load;
