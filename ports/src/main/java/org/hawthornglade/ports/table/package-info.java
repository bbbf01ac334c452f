/** The transactional table service. */
package org.hawthornglade.ports.table;
