/**
 * Links between processes of the fleet, the HTTP API that a process serves itself, and the
 * detection of silent connections; start reading at {@code Links}.
 */
package org.jacinthwharf.connection;
