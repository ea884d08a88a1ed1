/**
 * The questionnaire for a new deployment, and the files generated from its answers. {@code
 * DeploymentFiles} is the entry point.
 */
package org.jacinthwharf.process.questionnaire;
