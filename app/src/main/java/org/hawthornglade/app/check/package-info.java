/** Validation of settings files. */
package org.hawthornglade.app.check;
