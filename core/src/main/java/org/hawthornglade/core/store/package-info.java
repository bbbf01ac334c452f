/** What entries know of the platform's store across its restores. */
package org.hawthornglade.core.store;
