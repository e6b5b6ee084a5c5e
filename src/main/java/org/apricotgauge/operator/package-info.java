/** Operators: the administration API of a node, and what the operators' programs share. */
package org.apricotgauge.operator;
