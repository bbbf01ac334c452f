/** The asynchronous entry: receives calls, decides by {@code core}, forwards them and tracks the fleet. */
package org.hawthornglade.gateway;
