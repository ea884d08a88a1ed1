/**
 * What lives as long as one connection: links between processes of the fleet, and the detection of
 * connections that went silent. Start reading at {@code Links}.
 */
package org.jacinthwharf.connection;
