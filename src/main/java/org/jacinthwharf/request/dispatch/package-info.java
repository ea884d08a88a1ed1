/**
 * Decides where a gateway sends a request, when it waits, and when it is refused; start reading at
 * {@code Dispatcher}.
 */
package org.jacinthwharf.request.dispatch;
