"""What the replicated registers of the controllers hold, and the changes that may be made to them.

Register keys are part of stored data and never change, even where the code uses another word.
"""

CONFIGURATION_KEY = "blueprint"
ZONE_DRAINS_KEY = "evacuations"
FAILOVER_LEASE_KEY = "duty/failover"
PRIORITY_KEY = "lanes"
VOTERS_KEY = "voters"
SUBSCRIBERS_KEY = "listeners"
ACCESS_KEY = "access"
POOL_MODES_KEY = "pooling"
PROMOTIONS_KEY = "promotions"
FEED_PREFIX = "feed/"  # followed by a database

REGISTER_KEYS = (
    CONFIGURATION_KEY,
    ZONE_DRAINS_KEY,
    FAILOVER_LEASE_KEY,
    PRIORITY_KEY,
    VOTERS_KEY,
    SUBSCRIBERS_KEY,
    ACCESS_KEY,
    POOL_MODES_KEY,
    PROMOTIONS_KEY,
)
