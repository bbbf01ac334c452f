/** Reading of JSON that other processes send. */
package org.hawthornglade.gateway.json;
