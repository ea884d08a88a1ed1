/**
 * The router process: receives requests over HTTP, and connects the admission, membership and
 * outcome decisions to the network.
 */
package org.jacinthwharf.process.router;
