package saddlestall;

import saddlestall.Dispatcher.CallClass;
import saddlestall.Dispatcher.Settings;

/** Refuses settings that cannot be served, naming the field. */
final class SettingsValidator {
  private SettingsValidator() {}

  static void check(Settings s) {
    require(!s.classes().isEmpty(), "classes");
    for (CallClass c : s.classes()) {
      require(c.latencyTarget() > 0, "classes.aim");
      require(c.timeout() > 0, "classes.giveUp");
      require(c.value() >= 0, "classes.worth");
    }
    require(s.frontEndCount() > 0, "siblings");
    require(s.limits().maxAttempts() > 0, "limits.maxAttempts");
  }

  private static void require(boolean holds, String field) {
    if (!holds) {
      throw new IllegalArgumentException("setting cannot be served: " + field);
    }
  }
}
