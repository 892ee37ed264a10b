package saddlestall;

import saddlestall.Dispatcher.CallClass;
import saddlestall.Dispatcher.Settings;

/** Rejects settings that cannot be served. */
final class SettingsValidator {
  private SettingsValidator() {}

  /**
   * Checks the settings. The messages name a setting as it is called in the settings file.
   *
   * @throws IllegalArgumentException naming the setting that cannot be served
   */
  static void check(Settings settings) {
    require(!settings.classes().isEmpty(), "classes");
    for (CallClass callClass : settings.classes()) {
      require(callClass.latencyTarget() > 0, "classes.aim");
      require(callClass.timeout() > 0, "classes.giveUp");
      require(callClass.value() >= 0, "classes.worth");
    }
    require(settings.frontEndCount() > 0, "siblings");
    require(settings.limits().maxAttempts() > 0, "limits.maxAttempts");
  }

  private static void require(boolean valid, String setting) {
    if (!valid) {
      throw new IllegalArgumentException("setting cannot be served: " + setting);
    }
  }
}
