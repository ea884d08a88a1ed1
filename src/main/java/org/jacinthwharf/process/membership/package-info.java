/**
 * Membership of a failure domain: registry of backend servers, election of a coordinator, views of
 * the routers, and owners of backend servers.
 */
package org.jacinthwharf.process.membership;
