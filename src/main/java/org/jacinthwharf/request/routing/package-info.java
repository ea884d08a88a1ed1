/**
 * Routes a request to the granted slot whose server most likely has its prefix cached; see {@code
 * PrefixAffinity}.
 */
package org.jacinthwharf.request.routing;
