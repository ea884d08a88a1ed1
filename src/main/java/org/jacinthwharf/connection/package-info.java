/**
 * Links between processes of the fleet, the HTTP endpoint for APIs that a process serves, the
 * decoding of answers, and the detection of silent and of reset connections. {@code Links} is the
 * entry point.
 */
package org.jacinthwharf.connection;
