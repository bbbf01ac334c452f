/** The configuration that operators confirm: what is answerable, for whom and within which budget. */
package org.hawthornglade.core.config;
