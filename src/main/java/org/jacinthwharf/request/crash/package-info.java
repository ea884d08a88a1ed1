/**
 * Requests that crash backend servers: which prompt segments and whole requests were lost with
 * crashed servers, and which requests are therefore refused. The entry point is {@code
 * CrashEvidence}.
 */
package org.jacinthwharf.request.crash;
