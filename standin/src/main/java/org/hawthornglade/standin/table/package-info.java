/** A stand-in for the transactional table service. */
package org.hawthornglade.standin.table;
