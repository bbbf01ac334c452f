/** Accounting of an engine's accelerator memory. */
package org.hawthornglade.core.ledger;
