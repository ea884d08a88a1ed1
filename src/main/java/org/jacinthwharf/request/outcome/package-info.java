/** Request outcomes: retries, claims of request keys, matching of answers, assembly of streams. */
package org.jacinthwharf.request.outcome;
