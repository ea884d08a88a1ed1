/**
 * The questionnaire for a new deployment, and the files generated from its answers; start reading
 * at {@code DeploymentFiles}.
 */
package org.jacinthwharf.process.questionnaire;
