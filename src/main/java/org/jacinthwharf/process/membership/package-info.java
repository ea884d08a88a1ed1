/**
 * Knows backend servers and the routers of the failure domain: registry, coordinator, views,
 * owners.
 */
package org.jacinthwharf.process.membership;
