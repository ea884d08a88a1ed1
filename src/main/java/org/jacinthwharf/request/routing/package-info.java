/**
 * Decides which of the granted slots a request uses, so that the server's prompt cache helps. Start
 * reading at {@code PrefixAffinity}.
 */
package org.jacinthwharf.request.routing;
