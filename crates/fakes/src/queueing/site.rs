use std::net::SocketAddr;
use std::time::Duration;

use bay_types::ZoneName;

/// A service of a site and the gates in front of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Site {
    /// Name in tables.
    pub name: &'static str,
    /// Number of zones, over which gates and targets are spread evenly.
    pub zones: usize,
    /// One-way delay between hosts of different zones.
    pub cross_zone_delay: Duration,
    /// Number of targets of the service.
    pub targets: usize,
    /// Limit of connections to a target.
    pub connections: u32,
    /// Number of gates.
    pub gates: usize,
}

impl Site {
    /// Requests that a target runs at once.
    pub const SLOTS: u32 = 4;
    /// Requests that a target runs at once at the start of its warm-up.
    pub const COLD_SLOTS: u32 = 1;
    /// Time from a cold start to full capacity.
    pub const WARMUP: Duration = Duration::from_secs(10);
    /// One-way delay between hosts of one zone.
    pub const SAME_ZONE_DELAY: Duration = Duration::from_micros(250);
    /// Number of gates of each site.
    pub const GATES: usize = 9;

    /// Creates a service of Swanline Tagaway with `targets` targets.
    pub const fn swanline(name: &'static str, targets: usize) -> Site {
        let cross_zone_delay = Duration::from_millis(1);
        Site { name, zones: 4, cross_zone_delay, targets, connections: 110, gates: Site::GATES }
    }

    /// Creates a service of Puhas Kott with `targets` targets.
    pub const fn puhas_kott(name: &'static str, targets: usize) -> Site {
        let cross_zone_delay = Duration::from_micros(1_500);
        Site { name, zones: 3, cross_zone_delay, targets, connections: 50, gates: Site::GATES }
    }

    /// Job status lookup of Swanline.
    pub const LOOKUP: Site = Site::swanline("swanline lookup", 17);
    /// Crew booking and billing of Swanline, and its photo store, which has the same size.
    pub const BOOKING: Site = Site::swanline("swanline booking, photos", 8);
    /// Bag tracking and routes of Puhas Kott.
    pub const TRACKING: Site = Site::puhas_kott("puhas-kott tracking", 14);
    /// Booking and payment of Puhas Kott.
    pub const KOTT_BOOKING: Site = Site::puhas_kott("puhas-kott booking", 8);
    /// Garment photo intake of Puhas Kott.
    pub const KOTT_PHOTOS: Site = Site::puhas_kott("puhas-kott photos", 6);

    /// All services of both sites.
    pub const ALL: [Site; 5] =
        [Site::LOOKUP, Site::BOOKING, Site::TRACKING, Site::KOTT_BOOKING, Site::KOTT_PHOTOS];

    /// Returns the address of a target.
    pub fn address(target: usize) -> SocketAddr {
        SocketAddr::from(([10, 0, (target >> 8) as u8, target as u8], 80))
    }

    /// Returns the name of a zone.
    ///
    /// # Panics
    /// Never panics, as every such name is valid.
    pub fn zone(zone: usize) -> ZoneName {
        ZoneName::new(&format!("zone-{zone}")).expect("a letter, a hyphen and digits are a name")
    }

    /// Returns the zone of the gate or target with this index.
    pub fn zone_of(&self, number: usize) -> usize {
        number % self.zones
    }

    /// Returns the capacity in requests per second without the targets of zone `without`.
    ///
    /// A slot is also busy for the round trip between gate and target. Gates in zone `without` are
    /// assumed to use targets of other zones, all others targets of their own zone.
    pub fn capacity(&self, service: Duration, without: Option<usize>) -> f64 {
        let rest = (0..self.targets).filter(|t| Some(self.zone_of(*t)) != without);
        let slots = rest.count() as f64 * f64::from(Site::SLOTS);
        let far = (0..self.gates).filter(|g| Some(self.zone_of(*g)) == without).count();
        let far_share = far as f64 / self.gates as f64;
        let way = self.cross_zone_delay.mul_f64(far_share)
            + Site::SAME_ZONE_DELAY.mul_f64(1.0 - far_share);
        slots / (service + way * 2).as_secs_f64()
    }

    /// Returns the one-way delay between two zones.
    pub fn delay(&self, from: usize, to: usize) -> Duration {
        if from == to { Site::SAME_ZONE_DELAY } else { self.cross_zone_delay }
    }
}
