package umberrun;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.File;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.Test;

/** What the deploy file and the build agree on. */
public class DeployTest {

  /** A restart without the archive of classes takes twice the time, and nothing else would show that it is missing. */
  @Test
  public void theRunCommandNamesTheArchiveThatTheBuildMakes() throws Exception {
    String run = Files.readAllLines(Path.of("deploy/balancer.toml")).stream().filter(l -> l.startsWith("run"))
        .findFirst().orElseThrow();
    String archive = run.replaceAll(".*-XX:SharedArchiveFile=(\\S+) .*", "$1");
    assertTrue(archive, Files.readString(Path.of("pom.xml")).contains("-XX:ArchiveClassesAtExit=" + archive + "<"));
  }

  /** The start that the build takes the classes from ends by itself, and well. */
  @Test
  public void aRehearsalEnds() throws Exception {
    ProcessBuilder b = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp",
        System.getProperty("java.class.path"), "umberrun.Main", "rehearse");
    b.environment().putAll(Map.of("EDGE_CONFIG", "examples/config.json", "EDGE_LISTEN", "127.0.0.1:0"));
    Process p = b.redirectErrorStream(true).redirectOutput(new File("/dev/null")).start();
    assertTrue("still running", p.waitFor(60, TimeUnit.SECONDS));
    assertEquals(0, p.exitValue());
  }
}
