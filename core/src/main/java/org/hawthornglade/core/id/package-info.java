/** Value types for identifiers. */
package org.hawthornglade.core.id;
