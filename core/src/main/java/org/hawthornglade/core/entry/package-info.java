/** Decision logic of an entry: admission, routing, retries and refusals. */
package org.hawthornglade.core.entry;
