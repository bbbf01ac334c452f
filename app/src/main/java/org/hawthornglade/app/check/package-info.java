/** The check of settings files. */
package org.hawthornglade.app.check;
