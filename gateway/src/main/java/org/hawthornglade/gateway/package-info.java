/** The asynchronous entry: takes calls, decides with {@code core}, forwards them and keeps its view of the fleet. */
package org.hawthornglade.gateway;
