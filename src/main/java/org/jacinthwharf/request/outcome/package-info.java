/**
 * Decides how a request ends: outcomes, retries, claims of request keys, answer matching, streams.
 */
package org.jacinthwharf.request.outcome;
