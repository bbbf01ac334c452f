/** Value types for ids and names. */
package org.hawthornglade.core.id;
