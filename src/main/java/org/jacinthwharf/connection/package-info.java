/**
 * Links between processes of the fleet, the HTTP endpoint for APIs that a process serves, and the
 * detection of silent connections. {@code Links} is the entry point.
 */
package org.jacinthwharf.connection;
