package umberrun.config;

import static org.junit.Assert.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import umberrun.config.Config.SettingNames;

/** What a front end makes of settings that lack something. */
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

  /** A limit that a deployment does not name is none, and no other deployment's. */
  @Test
  public void anAbsentLimitIsNoLimit() throws Exception {
    SettingNames lacking =
        names(
            "{\"Classes\":[{\"Name\":\"menu\",\"GiveUp\":3000},{\"Name\":\"order\",\"GiveUp\":7000}]}");
    assertEquals(0, lacking.idleCloseMillis());
    assertEquals(Integer.MAX_VALUE, lacking.streamsPerConnection());
    assertEquals("as long as the most patient client waits", 7_000, lacking.preloadTimeoutMillis());
    SettingNames named =
        names(
            "{\"Classes\":[{\"Name\":\"menu\",\"GiveUp\":3000}],\"Limits\":{\"IdleClose\":900,\"StreamsPerConn\":7},"
                + "\"FamilyInfo\":{\"OrderLimit\":80}}");
    assertEquals(900, named.idleCloseMillis());
    assertEquals(7, named.streamsPerConnection());
    assertEquals(80, named.preloadTimeoutMillis());
  }
}
