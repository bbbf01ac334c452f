/** What endpoints say of themselves in their answers, each word in a class of its own. */
package org.hawthornglade.core.notice;
