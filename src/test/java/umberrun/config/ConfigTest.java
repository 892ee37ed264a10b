package umberrun.config;

import static org.junit.Assert.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import umberrun.config.Config.SettingNames;

/** Defaults for settings that are absent. */
public class ConfigTest {
  @Rule public final TemporaryFolder folder = new TemporaryFolder();

  private SettingNames names(String settings) throws Exception {
    Path file =
        Files.writeString(
            folder.newFile().toPath(),
            "{\"listen\":\"127.0.0.1:0\",\"changelog\":\"127.0.0.1:1\",\"settings\":"
                + settings
                + "}");
    return Config.read(Map.of("EDGE_CONFIG", file.toString())).names();
  }

  /** An absent limit must mean no limit, not the usual value of some other deployment. */
  @Test
  public void anAbsentLimitIsNoLimit() throws Exception {
    SettingNames withoutLimits =
        names(
            "{\"Classes\":[{\"Name\":\"menu\",\"GiveUp\":3000},{\"Name\":\"order\",\"GiveUp\":7000}]}");
    assertEquals(0, withoutLimits.idleCloseMillis());
    assertEquals(Integer.MAX_VALUE, withoutLimits.streamsPerConnection());
    assertEquals("the longest timeout of a class", 7_000, withoutLimits.preloadTimeoutMillis());
    SettingNames withLimits =
        names(
            "{\"Classes\":[{\"Name\":\"menu\",\"GiveUp\":3000}],\"Limits\":{\"IdleClose\":900,\"StreamsPerConn\":7},"
                + "\"FamilyInfo\":{\"OrderLimit\":80}}");
    assertEquals(900, withLimits.idleCloseMillis());
    assertEquals(7, withLimits.streamsPerConnection());
    assertEquals(80, withLimits.preloadTimeoutMillis());
  }
}
